# A fleet at its size: five real voters, six real servers under load, all others hollow, in 7 regions with 20 zones. `servers` counts
# real and hollow ones. Hollow instances are real membership, agreement and frames with no requests behind them, many in a
# process. A rack and a zone are lost and come back cold, the leader dies, a region is cut off for a minute, and servers are
# replaced all the while at the rate of an ordinary day.
about    = "real voters and servers in a fleet of hollow ones: detection, traffic and cost at size"
servers  = 126
length_s = 176
warm_s   = 6
load     = 0.5
cores    = 2
voters   = 5
zones    = 20
regions  = 7
stop_ms  = 2500

hollow {
  real    = 6
  callers = 600
}

stage "preview" {
  share    = 0.7
  work_ms  = 20
  cv       = 0.3
  due_ms   = 2500
  limit_ms = 6300
}
stage "bake" {
  share    = 0.3
  work_ms  = 40
  cv       = 0.3
  due_ms   = 3400
  limit_ms = 8400
}

gateways {
  count = 4
  tries = 4
}

budget "zones" {
  each     = "zone"
  most_out = 1
}

fault {
  kind  = "lose"
  label = "rack"
  at_s  = 18
  for_s = 30
  zone  = "z12"
  many  = 40
}
fault {
  kind  = "lose"
  label = "zone"
  at_s  = 50
  for_s = 36
  zone  = "z19"
}
fault {
  kind   = "cut_region"
  label  = "region"
  at_s   = 88
  for_s  = 60
  region = "g6"
}
fault {
  kind  = "kill_leader"
  at_s  = 118
  for_s = 3
}
fault {
  kind  = "replace"
  at_s  = 18
  for_s = 150
  a_day = 2900
}

arm "without" {
  hollow   = false
  length_s = 18
}
arm "with" {}

bound {
  figure = "control_cpu_percent"
  arm    = "with"
  most   = 1.3
}
bound {
  figure = "control_bytes_per_s"
  arm    = "with"
  most   = 6144
}
bound {
  figure = "instance_memory_mb"
  arm    = "with"
  most   = 128
}
bound {
  figure = "leader_peak_cpu"
  arm    = "with"
  most   = 1
}
bound {
  figure = "false_deaths"
  arm    = "with"
  most   = 0
}
bound {
  figure = "quiet_added_p99_ms"
  arm    = "with"
  than   = "without"
  ratio  = true
  most   = 1.1
}
