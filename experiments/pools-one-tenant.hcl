# One tenant sends previews alone, as many as half of what the cores can do: the reserve is not its alone.
like  = "pools.hcl"
about = "one tenant floods with previews: the others keep theirs"
load  = 1.5

tenant "flood" {
  share           = 0.25
  traffic         = 0.55
  allowance_per_s = 8
  only            = "preview"
}
tenant "studio-b" {
  share           = 0.2
  allowance_per_s = 10
}
tenant "studio-c" {
  share           = 0.15
  allowance_per_s = 8
}
tenant "studio-d" {
  share           = 0.1
  allowance_per_s = 6
}

bound {
  figure = "service_of_studio_b"
  arm    = "pools"
  least  = 0.95
}
bound {
  figure = "utility"
  arm    = "pools"
  than   = "off"
  least  = 0
}
