"""Parts of the measurement of documents: a field of processes, edits, faults and their logs."""
