
pol "a" {
}
