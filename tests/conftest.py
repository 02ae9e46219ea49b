"""What every run of the tests loads."""

pytest_plugins = ["pytester", "tests.known_red"]
