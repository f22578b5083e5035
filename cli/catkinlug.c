#include <stdio.h>

int main(void)
{
	fprintf(stderr, "catkinlug: no command\n");
	return 2;
}
