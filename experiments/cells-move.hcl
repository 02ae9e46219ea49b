# Six nodes in two cells behind two routers, at 90%: tenants move between the cells while their tasks run. The window is
# 8 s, so that nodes which have just started can vouch for it when the first move comes.
like     = "pools.hcl"
about    = "tenants moved between cells under load: no task lost, none run twice"
load     = 0.9
length_s = 40
warm_s   = 8
servers  = 6
cores    = 3
routers  = 2
cells    = 2
set      = ["stage.final-submit.window_ms=8000"]

gateways {
  count = 4
  tries = 3
  heeds = 0.6
}

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

arm "cells" {}

bound {
  figure = "service_final_submit"
  arm    = "cells"
  least  = 0.9
}
