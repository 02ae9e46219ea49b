window_ms = 1000
lease_ms  = 500
cell "a" {
  node "A1" {
    address = "127.0.0.1:5051"
  }
  node "A2" {
    address = "127.0.0.2:5051"
    weight  = 2
  }
}
cell "b" {
  node "B1" {
    address = "127.0.0.3:5051"
  }
}
tenant "t1" {
  cell = "a"
  span = 1
}
tenant "t2" {
  weight = 3
}
tenant "t3" {
}
