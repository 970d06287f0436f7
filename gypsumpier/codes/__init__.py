"""Numbered result codes, with one module for each area.

Every refusal, failure and degraded answer that leaves a process carries one of these codes.  The
numbers are stable: the number of an unused code is never reused with another meaning.
docs/result-codes.md holds the same table; a test compares the two.
"""
