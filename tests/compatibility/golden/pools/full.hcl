pool "cheap" {
  stages  = ["preview"]
  reserve = 0.4
  weight  = 2
  most    = 0.75
  lends   = false
}

pool "rest" {
  stages = ["*"]
}

retries {
  ratio        = 0.2
  burst        = 5
  callers_most = 64
  likeness_ms  = 2500
}

reading {
  reserve = 0.25
}

fixed_limits = true
