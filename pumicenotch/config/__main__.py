"""Reads a file of ours and prints the compiled plan; faults go to standard error, with exit status 2."""

import sys

from pumicenotch.config.compiled import dump
from pumicenotch.config.file import InvalidFileError, ours_of


def main() -> None:
    try:
        made = ours_of(sys.argv[1])
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    print(dump(made))


if __name__ == "__main__":
    main()
