fleet  = "accra"
member = "v1"
listen = "127.0.0.1:7101"
voter "v2" {
  address = "127.0.0.1"
}
