window_ms = 1000
cell "a" {
  node "A1" {
    address = "127.0.0.1"
  }
}
