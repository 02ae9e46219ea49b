fleet = "accra"
member = "n3"
voters = ["127.0.0.1:7101"]
home = "home"
source = "source"
command = ["{nothing}"]
slot "program" {
  version = "a"
}
