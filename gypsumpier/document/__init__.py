"""Service teams' documents: their types, validation, revisions and replication."""
