# What `lab up` and `make run` show.
like   = "pools.hcl"
about  = "one server with pools at 110%, to look at: lab up"
load   = 1.1
warm_s = 1

arm "pools" {
  pools = "../deploy/pools.hcl"
}

bound {
  figure = "service_preview"
  arm    = "pools"
  least  = 0.9
}
