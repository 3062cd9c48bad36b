/* Operators' language. See docs/operations/language.md for the meaning of each statement. */
grammar Admin;

options { caseInsensitive = true; }

script : statement SEMICOLON? EOF ;

statement : show | change ;

show
  : SHOW subject (WHERE condition (AND condition)*)? (ORDER BY column=name (ASC | DESC)?)? (LIMIT limit=INTEGER)?
  ;

subject : GROUPS | MEMBERS | NODES | SESSIONS | VERSIONS | DECISIONS | CONTROLLERS | TENANTS ;

condition : name operator=(EQUAL | NOT_EQUAL | LESS | GREATER | LIKE) value ;

change : action precondition* ;

action
  : CREATE GROUP group=name MEMBERS LEFT member (COMMA member)* RIGHT (SET assignment (COMMA assignment)*)?  # createGroup
  | ALTER GROUP group=name SET assignment (COMMA assignment)*                                                # alterGroup
  | DROP GROUP group=name                                                                                    # dropGroup
  | ALTER MEMBER memberName=name IN GROUP group=name SET assignment (COMMA assignment)*                      # alterMember
  | DRAIN MEMBER memberName=name IN GROUP group=name                                                         # drainMember
  | RESTORE MEMBER memberName=name IN GROUP group=name                                                       # restoreMember
  | DRAIN NODE node=name                                                                                     # drainNode
  | RESTORE NODE node=name                                                                                   # restoreNode
  | SWITCH PRIMARY OF GROUP group=name TO memberName=name                                                    # switchPrimary
  ;

member : memberName=name AT address=STRING REGION region=name ZONE zone=name CONNECTIONS connections=INTEGER SLOTS slots=INTEGER ;

assignment : name EQUAL value ;

precondition : AT VERSION version=INTEGER | COMMAND command=STRING ;

value : STRING | INTEGER | TRUE | FALSE | name ;

name
  : IDENTIFIER | QUOTED
  | GROUPS | MEMBERS | NODES | SESSIONS | VERSIONS | DECISIONS | CONTROLLERS | TENANTS
  | GROUP | MEMBER | NODE | PRIMARY | VERSION | REGION | ZONE | CONNECTIONS | SLOTS | COMMAND
  ;

SHOW : 'SHOW' ; WHERE : 'WHERE' ; AND : 'AND' ; ORDER : 'ORDER' ; BY : 'BY' ; ASC : 'ASC' ; DESC : 'DESC' ;
LIMIT : 'LIMIT' ; LIKE : 'LIKE' ;
GROUPS : 'GROUPS' ; MEMBERS : 'MEMBERS' ; NODES : 'NODES' ; SESSIONS : 'SESSIONS' ; VERSIONS : 'VERSIONS' ;
DECISIONS : 'DECISIONS' ; CONTROLLERS : 'CONTROLLERS' ; TENANTS : 'TENANTS' ;
CREATE : 'CREATE' ; ALTER : 'ALTER' ; DROP : 'DROP' ; DRAIN : 'DRAIN' ; RESTORE : 'RESTORE' ; SWITCH : 'SWITCH' ;
GROUP : 'GROUP' ; MEMBER : 'MEMBER' ; NODE : 'NODE' ; PRIMARY : 'PRIMARY' ; OF : 'OF' ; TO : 'TO' ; IN : 'IN' ;
SET : 'SET' ; AT : 'AT' ; VERSION : 'VERSION' ; COMMAND : 'COMMAND' ;
REGION : 'REGION' ; ZONE : 'ZONE' ; CONNECTIONS : 'CONNECTIONS' ; SLOTS : 'SLOTS' ;
TRUE : 'TRUE' ; FALSE : 'FALSE' ;

LEFT : '(' ; RIGHT : ')' ; COMMA : ',' ; SEMICOLON : ';' ;
EQUAL : '=' ; NOT_EQUAL : '<>' | '!=' ; LESS : '<' ; GREATER : '>' ;

INTEGER : [0-9]+ ;
IDENTIFIER : [a-z_] [a-z0-9_\-.]* ;
QUOTED : '"' (~["\r\n])+ '"' ;
STRING : '\'' (~['\r\n] | '\'\'')* '\'' ;
COMMENT : '--' ~[\r\n]* -> skip ;
SPACE : [ \t\r\n]+ -> skip ;
