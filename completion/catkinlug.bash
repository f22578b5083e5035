# Completion of catkinlug for bash.
_catkinlug()
{
	local cur=${COMP_WORDS[COMP_CWORD]} group=${COMP_WORDS[1]} verb=${COMP_WORDS[2]}
	local groups="table job worker service charge status timeline trace settings key"
	local common="--help --json --entry --token"
	declare -A verbs=([table]="show edit apply history" [job]="submit status list cancel"
		[worker]="list drain" [service]="list" [charge]="report" [settings]="check" [key]="new")
	declare -A options=([table.edit]="--yes --by" [table.apply]="--version --by"
		[job.submit]="--team --kind --count --cores --memory --accelerators --run-time
			--key --payload --region --zone --urgent --at-most-once --wait"
		[job.status]="--team --wait" [job.list]="--team" [job.cancel]="--team"
		[worker.drain]="--undo"
		[timeline.]="--job --request --worker --since --html")

	if [ "$COMP_CWORD" -eq 1 ]; then
		mapfile -t COMPREPLY < <(compgen -W "$groups" -- "$cur")
	elif [ "$COMP_CWORD" -eq 2 ] && [ -n "${verbs[$group]}" ]; then
		mapfile -t COMPREPLY < <(compgen -W "${verbs[$group]}" -- "$cur")
	elif [[ $cur == -* ]]; then
		[ -n "${verbs[$group]}" ] || verb=""
		mapfile -t COMPREPLY < <(compgen -W "$common ${options[$group.$verb]}" -- "$cur")
	else
		mapfile -t COMPREPLY < <(compgen -f -- "$cur")
	fi
}
complete -F _catkinlug catkinlug
