"""The daemon of one VM: its composition root, its ports and its ticks."""
