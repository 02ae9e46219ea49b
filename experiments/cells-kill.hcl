# Six nodes in two cells behind two routers, at 90%: tenants move between the cells while their tasks run. The window is
# 8 s, so that nodes which have just started can vouch for it when the first move comes.
like     = "pools.hcl"
about    = "the same, with a node and a router killed on the way"
load     = 0.9
length_s = 40
warm_s   = 8
servers  = 6
cores    = 3
routers  = 2
cells    = 2

stage "preview" {
  share        = 0.51
  work_ms      = 200
  cv           = 0.75
  io_ms        = 60
  due_ms       = 2500
  limit_ms     = 6300
  calls        = 1
  skip_utility = 0.5
}

stage "bake" {
  share    = 0.27
  work_ms  = 464
  cv       = 0.9
  io_ms    = 190
  due_ms   = 3400
  limit_ms = 8400
}

stage "final-submit" {
  share     = 0.22
  work_ms   = 332
  cv        = 0.8
  io_ms     = 175
  due_ms    = 5000
  limit_ms  = 13000
  utility   = 3
  effect    = "fingerprinted"
  window_ms = 8000
  calls     = 1
}

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

arm "cells" {}

bound {
  figure = "service_final_submit"
  arm    = "cells"
  least  = 0.5
}
