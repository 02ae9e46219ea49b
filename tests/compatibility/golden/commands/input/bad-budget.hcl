fleet  = "accra"
member = "v1"
listen = "127.0.0.1:7101"
voter "v1" {
  address = "127.0.0.1:7101"
}
budget "b" {
  each = "planet"
}
