# Twelve nodes in three zones with an agent beside each, five voters, 80% of what they can do: a version goes out to all in
# three waves, while the leader is killed and a zone is cut off for a while. Versions are the program itself, some with a
# fault seeded in their folder.
about         = "a good version and three bad ones released to a fleet under load, with faults on the way"
load          = 0.8
length_s      = 88
warm_s        = 6
servers       = 12
cores         = 2
voters        = 5
zones         = 3
agents        = true
mixed         = true
soak_ms       = 2000
database_most = 500
stop_ms       = 2500

stage "preview" {
  share    = 0.5
  work_ms  = 60
  due_ms   = 2500
  limit_ms = 6300
  calls    = 1
}
stage "bake" {
  share    = 0.3
  work_ms  = 120
  due_ms   = 3400
  limit_ms = 8400
}
stage "final-submit" {
  share     = 0.2
  work_ms   = 90
  due_ms    = 5000
  limit_ms  = 13000
  utility   = 3
  effect    = "fingerprinted"
  window_ms = 8000
  calls     = 1
}

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
  kind = "release"
  at_s = 8
}
fault {
  kind  = "kill_leader"
  at_s  = 14
  for_s = 3
}
fault {
  kind  = "cut_zone"
  at_s  = 32
  for_s = 5
  zone  = "z1"
}

arm "none" {}
arm "good" {
  releases = "good"
}
arm "bad-class" {
  releases = "bad-class"
}
arm "crash-loop" {
  releases = "crash-loop"
}
arm "kills-below" {
  releases = "kills-below"
}

bound {
  figure = "utility"
  arm    = "good"
  than   = "none"
  least  = -0.03
}
bound {
  figure = "released"
  arm    = "good"
  least  = 1
}
bound {
  figure = "most_over_budget"
  arm    = "good"
  most   = 0
}
bound {
  figure = "ever_released"
  arm    = "bad-class"
  most   = 2
}
bound {
  figure = "ever_released"
  arm    = "crash-loop"
  most   = 2
}
bound {
  figure = "ever_released"
  arm    = "kills-below"
  most   = 2
}
bound {
  figure = "versions"
  arm    = "good"
  most   = 1
}
bound {
  figure = "release_s"
  arm    = "bad-class"
  least  = 0
}
bound {
  figure = "release_s"
  arm    = "crash-loop"
  least  = 0
}
bound {
  figure = "release_s"
  arm    = "kills-below"
  least  = 0
}
bound {
  figure = "versions"
  arm    = "bad-class"
  most   = 1
}
bound {
  figure = "versions"
  arm    = "crash-loop"
  most   = 1
}
bound {
  figure = "versions"
  arm    = "kills-below"
  most   = 1
}
bound {
  figure = "most_over_budget"
  arm    = "bad-class"
  most   = 0
}
bound {
  figure = "most_over_budget"
  arm    = "crash-loop"
  most   = 0
}
bound {
  figure = "most_over_budget"
  arm    = "kills-below"
  most   = 0
}
