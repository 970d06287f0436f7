"""Parts of the measurement of documents: processes under test, edits, faults and log analysis."""
