"""Shows the main job on one machine; only this driver starts processes, never the product."""
