"""Reads a configuration file and prints the compiled plan.

Errors are printed to standard error, with exit status 2.
"""

import sys

from pumicenotch.config.compiled import dump
from pumicenotch.config.file import InvalidFileError, instance_config_of


def main() -> None:
    """Compiles the file that the command line names."""
    try:
        config = instance_config_of(sys.argv[1])
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    print(dump(config))


if __name__ == "__main__":
    main()
