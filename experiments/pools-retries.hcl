# Gateways that retry without limit, unmarked, whatever they are told. marks and tries by --set gateways.marks=true
like  = "pools.hcl"
about = "gateways retrying without limit, unmarked, heeding nothing"

gateways {
  count    = 4
  tries    = 1000
  pause_ms = 20
  marks    = false
  heeds    = 0
  server   = "same"
}
