"""The file of ours: HCL read by a library, checked against schemas by another, every fault named by its
place.

Reading takes some 45 MB for a moment, which a server in 32 MB does not have: it is done in a process of its
own (`python -m pumicenotch.config FILE`), which hands over the compiled plan (`compiled`, standard library
alone).
"""
