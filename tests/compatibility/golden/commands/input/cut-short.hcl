pool "a" {
  stages = ["x"]
