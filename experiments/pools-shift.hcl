# From mostly previews to mostly final-submits within a moment, and back.
like     = "pools.hcl"
keep     = ["bound"]
about    = "a sudden shift of classes, and back: how soon service is what it will be"
length_s = 70
load     = 1.1

phase {
  at_s   = 25
  load   = 1.1
  shares = { "preview" = 0.1, "bake" = 0.15, "final-submit" = 0.75 }
}
phase {
  at_s   = 45
  load   = 1.1
  shares = { "preview" = 0.75, "bake" = 0.15, "final-submit" = 0.1 }
}

bound {
  figure = "shift_s"
  arm    = "pools"
  most   = 3
}
