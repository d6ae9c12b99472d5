#include "masticpitch/masticpitch.h"

#include <stdio.h>

int
main(int argc, char **argv)
{
	printf("masticpitch %s\n", masticpitch_version());
	return 0;
}
