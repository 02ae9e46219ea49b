"""What every run of the tests loads."""

import signal

pytest_plugins = ["pytester", "tests.known_red"]

# A shell without job control starts background commands with SIGINT ignored, and every process that
# the tests start would inherit that: those that are to end at SIGINT would go on.
if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
    signal.signal(signal.SIGINT, signal.default_int_handler)
