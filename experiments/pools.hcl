# A render node at a load above what its cores can do, under four ways to decide. `lab run pools --set load=1.2`
about    = "class pools and the reserve against today's module, static partitions and a plain queue"
carrier  = "loopback"
load     = 1.2
length_s = 60
warm_s   = 8
cores    = 6

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
  window_ms = 37794
  calls     = 1
}

tenant "studio-a" {
  share           = 0.26
  allowance_per_s = 32
}
tenant "studio-b" {
  share           = 0.25
  allowance_per_s = 30
}
tenant "studio-c" {
  share           = 0.16
  allowance_per_s = 19
}
tenant "studio-d" {
  share           = 0.14
  allowance_per_s = 17
}
tenant "studio-e" {
  share           = 0.11
  allowance_per_s = 13
}
tenant "studio-f" {
  share           = 0.08
  allowance_per_s = 10
}

gateways {
  count = 4
  tries = 2
  heeds = 0.6
}

arm "plain" {
  decides = "plain"
}
arm "off" {}
arm "static" {
  pools = "files/static.hcl"
}
arm "pools" {
  pools = "../deploy/pools.hcl"
}

bound {
  figure = "service_preview"
  arm    = "pools"
  least  = 0.9
}
bound {
  figure = "utility"
  arm    = "pools"
  than   = "off"
  least  = 0
}
