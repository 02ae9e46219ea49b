fleet "accra" {
  member = "n3"
  listen = "nowhere"
  voters = []
}
