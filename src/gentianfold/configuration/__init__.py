"""The published configuration: documents, the snapshot in force, the VM list."""
