# Three servers of a fleet in which nothing happens: what belonging to it costs. Beside `--set voters=0`, which has none.
like     = "pools.hcl"
about    = "a fleet in which nothing happens, to be held beside the same servers without one"
load     = 0.8
length_s = 40
warm_s   = 6
servers  = 3
cores    = 4
voters   = 3
zones    = 3

arm "none" {
  drains = "none"
}

bound {
  figure = "utility"
  arm    = "none"
  least  = 0.9
}
