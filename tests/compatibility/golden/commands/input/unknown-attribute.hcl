pool "a" {
  stages = ["x"]
  reserv = 0.5
}
