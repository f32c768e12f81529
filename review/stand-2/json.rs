//! A small JSON reader, enough for the transactions that machines send to the store.

#[derive(Debug, Clone)]
pub enum Json {
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
    Other,
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&bytes, &mut at)
    }

    fn get(&self, name: &str) -> Option<&Self> {
        let Self::Map(fields) = self else { return None };
        fields.iter().find(|(n, _)| n == name).map(|(_, v)| v)
    }

    pub fn list(&self, name: &str) -> Vec<Self> {
        match self.get(name) {
            Some(Self::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }
}

fn skip(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':') {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match text.get(*at)? {
        '"' => string(text, at).map(Json::Text),
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(text, at);
                if *text.get(*at)? == ']' {
                    *at += 1;
                    return Some(Json::List(items));
                }
                items.push(value(text, at)?);
            }
        }
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                if *text.get(*at)? == '}' {
                    *at += 1;
                    return Some(Json::Map(fields));
                }
                let name = string(text, at)?;
                fields.push((name, value(text, at)?));
            }
        }
        _ => {
            while text.get(*at).is_some_and(|c| !",]}".contains(*c)) {
                *at += 1;
            }
            Some(Json::Other)
        }
    }
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != '"' {
        return None;
    }
    *at += 1;
    let mut out = String::new();
    loop {
        let c = *text.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(out),
            '\\' => {
                out.push(*text.get(*at)?);
                *at += 1;
            }
            c => out.push(c),
        }
    }
}
