# The moves of cells-move.hcl, with a node and a router killed on the way.
like  = "cells-move.hcl"
keep  = ["fault"]
about = "the same, with a node and a router killed on the way"

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
