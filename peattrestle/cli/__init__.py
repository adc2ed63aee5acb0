"""The command-line interface.

Exit codes of all commands: 0 success, 1 a rule was broken or a check failed, 2 the arguments or the
configuration are invalid, 3 the command could not run. Standard output has only results; logs and errors go
to standard error.
"""
