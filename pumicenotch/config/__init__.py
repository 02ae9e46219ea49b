"""Configuration files: HCL parsed by one library and checked against schemas by another.

Every error names its place. Reading a file takes about 45 MB of memory for a moment, which a server
limited to 32 MB does not have. The file is therefore read in a process of its own,
`python -m pumicenotch.config FILE`, which returns the compiled plan as JSON; `compiled` reads it with the
standard library only.
"""
