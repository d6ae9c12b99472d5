/*
 * Embeds one node in a program: checks the settings, serves until SIGTERM, then lets
 * running requests finish.
 */
#include <masticpitch/masticpitch.h>

#include <stdio.h>

int
main(int argc, char **argv)
{
	char message[MASTICPITCH_MESSAGE_MAX];
	masticpitch_node_t *node = NULL;
	int error;

	if (argc != 2) {
		fprintf(stderr, "usage: %s SETTINGS\n", argv[0]);
		return 2;
	}
	error = masticpitch_settings_check(argv[1], message, sizeof(message));
	if (error == MASTICPITCH_OK)
		error = masticpitch_node_create(argv[1], &node, message, sizeof(message));
	if (error != MASTICPITCH_OK) {
		fprintf(stderr, "%s: %s\n", masticpitch_strerror(error), message);
		return 1;
	}
	error = masticpitch_node_run(node);
	masticpitch_node_destroy(node);
	return error == MASTICPITCH_OK ? 0 : 1;
}
