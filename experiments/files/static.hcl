# The same pools with fixed parts and nothing lent: what adapting is measured against.
fixed_limits = true

pool "cheap" {
  stages  = ["preview"]
  reserve = 0.4
}
pool "heavy" {
  stages = ["bake"]
}
pool "rest" {
  stages = ["*"]
}
