fleet "accra" {
  member = "n3"
  listen = "127.0.0.1:7200"
  voters = ["127.0.0.1:7101"]
  serves = ["orders"]
  cell   = "c1"
  distribution {
    relays = 2
    subscribe "routes" {
      all = true
    }
  }
}
pool "cheap" {
  stages  = ["preview"]
  reserve = 0.25
}
pool "rest" {
  stages = ["*"]
}
retries {
  ratio = 0.2
}
reading {
  reserve = 0.25
}
