"""The process of one VM: wires the parts and runs their systems."""
