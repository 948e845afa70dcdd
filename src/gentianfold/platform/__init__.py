"""Client of the platform: published values and the VM list, read and watched."""
