# Twelve nodes in three zones, five voters, 80% of what they can do: all nodes are to be drained and come back, while the
# leader is killed, a zone is cut off for a while, and a node is stopped and woken.
like     = "pools.hcl"
about    = "all nodes of a fleet drained and returned under load, each by itself or agreed"
load     = 0.8
length_s = 60
warm_s   = 6
servers  = 12
cores    = 2
voters   = 5
zones    = 3
stop_ms  = 2500
set      = ["stage.final-submit.window_ms=8000"]

gateways {
  count = 4
  tries = 6
}

budget "zones" {
  each     = "zone"
  most_out = 1
}
budget "all" {
  each     = "fleet"
  most_out = 2
}

fault {
  kind = "drain_all"
  at_s = 10
}
fault {
  kind  = "kill_leader"
  at_s  = 16
  for_s = 4
}
fault {
  kind  = "cut_zone"
  at_s  = 24
  for_s = 6
  zone  = "z1"
}
fault {
  kind   = "stall"
  at_s   = 34
  for_s  = 0.5
  server = 11
}

arm "none" {
  drains = "none"
}
arm "alone" {
  drains = "alone"
}
arm "agreed" {
  drains = "agreed"
}

bound {
  figure = "most_over_budget"
  arm    = "agreed"
  most   = 0
}
bound {
  figure = "drained"
  arm    = "agreed"
  least  = 12
}
bound {
  figure = "utility"
  arm    = "agreed"
  than   = "none"
  least  = -0.03
}
