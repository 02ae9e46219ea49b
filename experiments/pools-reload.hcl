# Under full load: other pools, no pools, pools again, then a drain with tasks in every state.
like     = "pools.hcl"
about    = "reload with other pools and without, then a drain, under full load: no rule broken"
length_s = 45

fault {
  kind  = "reload"
  at_s  = 12
  pools = "files/static.hcl"
}
fault {
  kind  = "reload"
  at_s  = 20
  pools = ""
}
fault {
  kind  = "reload"
  at_s  = 28
  pools = "../deploy/pools.hcl"
}
fault {
  kind = "drain"
  at_s = 42
}

arm "pools" {
  pools = "../deploy/pools.hcl"
}
arm "off" {}

bound {
  figure = "utility"
  arm    = "pools"
  least  = 0.7
}
