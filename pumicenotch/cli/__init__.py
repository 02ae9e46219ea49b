"""The command line interface `pumicenotch`.

Exit statuses: 0 for success, 1 if the command ran and its result is negative (a request refused, a bound
not met), 2 for invalid usage or an invalid file.
"""
