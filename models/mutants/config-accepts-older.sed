s|w > in_force\[i\] /\* NEWER \*/|w != in_force[i]|
