"""Outside systems: a protocol for each, and beside it the one module that adapts HTTP to it.

A different format of an outside system changes its ``*_http`` module and nothing else.
"""
