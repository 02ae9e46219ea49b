fleet "accra" {
  member = "n3"
  listen = "127.0.0.1:7200"
  voters = ["127.0.0.1:7101"]
  distribution {
    relays = 0
  }
}
