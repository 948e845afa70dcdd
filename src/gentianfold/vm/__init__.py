"""The process of one VM: builds the components and runs their periodic tasks."""
