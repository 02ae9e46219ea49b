# Bakes run five times longer than their hints say. Without hints: --set hints=absent
like  = "pools.hcl"
about = "bakes five times longer than hinted"
hints = "fifth"

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
  work_ms  = 2320
  cv       = 0.9
  io_ms    = 190
  due_ms   = 9000
  limit_ms = 20000
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
