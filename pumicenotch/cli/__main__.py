"""Entry point of `python -m pumicenotch.cli`."""

from pumicenotch.cli.app import main

main()
