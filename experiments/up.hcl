# What `lab up` and `make run` show: one server at 110% with bursts of previews.
about    = "one server with pools, to look at: lab up"
carrier  = "loopback"
load     = 1.1
length_s = 60
warm_s   = 1
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

arm "pools" {
  pools = "../deploy/pools.hcl"
}
