"""Numbered result codes, one module for each area.

Every refusal, failure and degraded answer that leaves a process carries one of these codes.  The
numbers are stable: a code that is no longer used is never given to another meaning.
docs/result-codes.md holds the same table, and a test keeps the two in agreement.
"""
