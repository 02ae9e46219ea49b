# The moves of cells-move.hcl, with a node and a router killed on the way.
like  = "cells-move.hcl"
about = "the same, with a node and a router killed on the way"

fault {
  kind   = "move"
  at_s   = 10
  tenant = "studio-a"
  cell   = "c0"
}
fault {
  kind   = "move"
  at_s   = 10.5
  tenant = "studio-a"
  cell   = "c1"
}
fault {
  kind   = "move"
  at_s   = 16
  tenant = "studio-b"
  cell   = "c0"
}
fault {
  kind   = "move"
  at_s   = 16
  tenant = "studio-c"
  cell   = "c1"
}
fault {
  kind   = "move"
  at_s   = 20
  tenant = "studio-a"
  cell   = "c0"
}
fault {
  kind   = "move"
  at_s   = 24
  tenant = "studio-b"
  cell   = "c1"
}

fault {
  kind   = "kill"
  at_s   = 21
  server = 4
}
fault {
  kind   = "kill_router"
  at_s   = 24.1
  server = 1
}

bound {
  figure = "service_final_submit"
  arm    = "cells"
  least  = 0.5
}
