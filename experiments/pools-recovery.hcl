# A hung worker pool, a stalled process, slow cores: once each is over, service comes back by itself.
like     = "pools.hcl"
about    = "hang, stall, slow cores and a cut link at 110%: back within 5 s of each one's end"
load     = 1.1
length_s = 80

fault {
  kind  = "hang_pool"
  at_s  = 15
  for_s = 3
}
fault {
  kind  = "stall"
  at_s  = 28
  for_s = 2
}
fault {
  kind   = "slow_cores"
  at_s   = 40
  for_s  = 6
  factor = 0.3
}
fault {
  kind = "cut_pool"
  at_s = 55
}

bound {
  figure = "recover_s"
  arm    = "pools"
  most   = 5
}
bound {
  figure = "service_preview"
  arm    = "pools"
  than   = "off"
  least  = 0
}
bound {
  figure = "utility"
  arm    = "pools"
  than   = "off"
  least  = 0
}
