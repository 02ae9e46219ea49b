pool "a" {
  stages = ["x"]
  reserve = 1.5
}
retries {
  ratio = 7
}
