"""The command line: words in, exit code out.

Exit codes everywhere: 0 it held, 1 a rule was broken or a check failed, 2 the words or the configuration are
wrong, 3 it could not run. Results go to standard output and nothing else does; logs go to standard error.
"""
