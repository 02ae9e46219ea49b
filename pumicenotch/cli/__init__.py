"""The command `pumicenotch`. Exit status: 0 good, 1 it ran and the result falls short, 2 wrong use or a
wrong file.
"""
